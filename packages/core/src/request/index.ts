/** Parts that live as long as one request. */
export {};
