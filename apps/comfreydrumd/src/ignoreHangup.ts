import process from 'node:process';

// By default SIGHUP ends the process. Imported before all other modules, so that a SIGHUP that arrives
// while they are loading is ignored too.
process.on('SIGHUP', () => {});
