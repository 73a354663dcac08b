/** Admission of requests: shares, priorities, deadlines, memory. */
export {};
