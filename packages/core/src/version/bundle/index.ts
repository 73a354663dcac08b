/** Bundles: parsing, checking, signing, comparing and merging. */
export * from "./check_bundle.ts";
export * from "./diff_bundles.ts";
export * from "./example_bundle.ts";
export * from "./format_bundle.ts";
export * from "./merge_bundles.ts";
export * from "./sign_bundle.ts";
