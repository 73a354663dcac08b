/** Orders to engines, with drains before and read-back after. */
export {};
