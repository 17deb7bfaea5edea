/** Tests that fill the memory of a router process. They run one at a time, apart from the others. */
export default {
  files: ['dist/src/daemons/Crowd*.test.js'],
  concurrency: 1,
  serial: true,
  timeout: '120s',
  workerThreads: false,
};
