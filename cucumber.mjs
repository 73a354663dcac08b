const common = {
  import: ["packages/*/dist/**/*.steps.js", "platform/dist/**/*.steps.js"],
  format: ["progress"],
  strict: true,
  publish: false,
};

export default {
  ...common,
  paths: ["packages/*/src/**/*.feature", "platform/src/**/*.feature"],
};

/** Profile for single features given on the command line. */
export const one = common;
