/** Time for targets to register again after the store was unavailable or came back from an older copy. */
export const registrationGraceMs = 2_200;
