import {once} from 'node:events';
import process from 'node:process';
import {
	command, flag, multioption, number, option, optional, run, string, array,
} from 'cmd-ts';
import {BackendServerStandIn} from './backend-server-stand-in.js';

const backendServer = command({
	name: 'backend-server',
	description: 'Backend server for tests; prints a line of JSON when it is ready',
	args: {
		nodeBackendUrl: option({long: 'node-backend-url', type: optional(string)}),
		service: option({long: 'service', type: string}),
		slots: option({long: 'slots', type: number, defaultValue: () => 8}),
		announcedSlots: option({long: 'announced-slots', type: optional(number)}),
		connections: option({long: 'connections', type: number, defaultValue: () => 64}),
		serviceTimeMs: option({long: 'service-time-ms', type: number, defaultValue: () => 5}),
		coldStartMs: option({long: 'cold-start-ms', type: number, defaultValue: () => 0}),
		availabilityZone: option({long: 'zone', type: string, defaultValue: () => 'a'}),
		calls: multioption({long: 'calls', type: array(string)}),
		printHistory: flag({long: 'print-history', description: 'print a line of JSON when an execution starts and when it has ended'}),
		answerBytes: option({long: 'answer-bytes', type: number, defaultValue: () => 0}),
		seed: option({long: 'seed', type: number, defaultValue: () => 1}),
	},
	async handler(flags) {
		const standIn = new BackendServerStandIn({...flags, announcedSlots: flags.announcedSlots ?? flags.slots});
		standIn.onDidRecord(record => {
			if (flags.printHistory) {
				console.log(JSON.stringify({execution: record}));
			}
		});
		await standIn.start();
		console.log(JSON.stringify({ready: true, port: standIn.port}));
		await once(process, 'SIGTERM');
		await standIn.depart();
	},
});

await run(backendServer, process.argv.slice(2));
