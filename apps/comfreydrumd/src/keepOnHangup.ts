import process from 'node:process';

// Imported first: a hang-up that comes while the other modules are still loaded would end the process.
process.on('SIGHUP', () => {});
