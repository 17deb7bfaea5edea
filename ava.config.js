export default {
  files: [
    'dist/platform/**/*.test.js',
    'dist/src/**/*.test.js',
    'dist/bench/**/*.test.js',
    'dist/soak/**/*.test.js',
    // These have a configuration of their own, ava.crowd.config.mjs.
    '!dist/src/daemons/Crowd*.test.js',
  ],
  concurrency: 4,
  timeout: '180s',
  workerThreads: false,
};
