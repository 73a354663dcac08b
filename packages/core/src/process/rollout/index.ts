/** Rollout of a bundle's models over the failure domains. */
export {};
