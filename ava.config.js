export default {
  files: ['dist/src/**/*.test.js', 'dist/bench/**/*.test.js'],
  concurrency: 4,
  timeout: '180s',
  workerThreads: false,
};
