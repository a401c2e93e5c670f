// Worker process that runs some members of a fleet and handles commands from its parent process.
import process from 'node:process';
import {type FleetCommand} from './fleet-command.js';
import {FleetMember} from './fleet-member.js';
import {type FleetSample} from './fleet-sample.js';
import {type FleetWorkerOptions} from './fleet-worker-options.js';

const options = JSON.parse(process.argv[2]) as FleetWorkerOptions;
const startPauseMs = 20;
globalThis.gc?.();
const emptyHeapBytes = process.memoryUsage().heapUsed;
const members = new Map<string, FleetMember>();

async function startMembers(): Promise<void> {
	for (let index = options.first; index < options.first + options.count; index++) {
		const member = new FleetMember(options, index);
		members.set(member.nodeId, member);
		await member.start();
		await new Promise(resolve => {
			setTimeout(resolve, startPauseMs);
		});
	}
}

function sum(name: string): number {
	return [...members.values()].reduce((total, member) => total + (member.counters[name] ?? 0), 0);
}

function sample(): FleetSample {
	globalThis.gc?.();
	const {user, system} = process.cpuUsage();
	return {
		members: members.size,
		cpuMs: (user + system) / 1000,
		heapBytes: process.memoryUsage().heapUsed - emptyHeapBytes,
		residentBytes: process.memoryUsage().rss,
		sentBytes: sum('gossip.sent.bytes'),
		receivedBytes: sum('gossip.received.bytes'),
		passedOnBytes: sum('gossip.passed-on.bytes'),
		sentDatagrams: sum('gossip.sent'),
		suspected: sum('gossip.suspected'),
		malformed: sum('gossip.malformed'),
	};
}

async function answer(command: FleetCommand): Promise<unknown> {
	switch (command.kind) {
		case 'sample': {
			return sample();
		}

		case 'known': {
			return Math.min(...[...members.values()].map(member => member.membership.members.length));
		}

		case 'seen': {
			return [...members.values()].map(member => member.seenAtMs.get(command.subject) ?? 0);
		}

		case 'init': {
			const [member] = members.values();
			return member.policy.initialize(command.policy, AbortSignal.timeout(5000));
		}

		case 'patch': {
			const [member] = members.values();
			return member.policy.submit({
				patchId: `patch-${command.baseVersion}`,
				baseVersion: command.baseVersion,
				operations: [{op: 'replace', path: '/retryShare', value: 0.05}],
			}, AbortSignal.timeout(5000));
		}

		case 'drain': {
			members.get(command.nodeId)?.drain();
			return true;
		}

		case 'kill': {
			members.get(command.nodeId)?.kill();
			members.delete(command.nodeId);
			return true;
		}
	}
}

process.on('message', (message: {id: number; command: FleetCommand}) => {
	void (async () => {
		try {
			process.send?.({id: message.id, answer: await answer(message.command)});
		} catch (error) {
			process.send?.({id: message.id, error: String(error)});
		}
	})();
});
process.on('disconnect', () => {
	process.exit();
});
await startMembers();
process.send?.({id: 0, answer: true});
