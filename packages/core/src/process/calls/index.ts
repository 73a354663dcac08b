/** Agreement on calls that run at most once. */
export {};
