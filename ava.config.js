const config = {
	files: ['target/out/**/test/**/*.test.js'],
	timeout: '3m',
	concurrency: 4,
	snapshotDir: 'snapshots',
	workerThreads: false,
};

export default config;
