/**
 * The era of the platform that answered. It increases each time the platform comes back from an older copy of its data and
 * gives versions out again, so versions of different eras can't be compared. Undefined where the platform has no eras.
 */
export type Era = number | undefined;
