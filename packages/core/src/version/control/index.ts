/** Fold of the control stream. */
export {};
