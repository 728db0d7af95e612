/** Sound targets may be silent for a second or so. */
export const maxSoundSilenceMs = 1_500;
