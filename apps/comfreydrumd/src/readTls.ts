import * as errors from '@comfreydrum/errors';
import * as settings from '@comfreydrum/settings';

/** Reads the certificate and key files given in the settings, if any. Throws if they are invalid. */
export const readTls = (files: settings.TlsFiles | undefined): settings.TlsMaterial | undefined =>
  files && errors.unwrap(settings.readTls(files));
