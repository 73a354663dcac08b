/** Client of the platform's log: grouped appends, tailing, checkpoints. */
export {};
