import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Machine} from './machine.js';
import {Recorder} from './recorder.js';
import {Store} from './store.js';
import {Upstream} from './upstream.js';

const readyTimeoutMs = 20_000;
const caseTimeoutMs = 110_000;
const couldNotRun = 2;

/** An installation on loopback: a store, and machines with one node and one upstream each. */
class Installation {
	machines = [];
	store = new Store();

	async open(ports) {
		this.ports = ports;
		await this.store.listen('127.0.0.1');
	}

	configure(manifest) {
		return this.store.put('op/config', JSON.stringify(manifest));
	}

	async addMachine({name, service, slots, serve, ...options}) {
		// The metrics port is fixed, so cases that run at the same time need addresses of their own.
		const ip = `127.${10 + (Math.floor(process.pid / 250) % 240)}.${1 + (process.pid % 250)}.${this.machines.length + 1}`;
		const upstream = new Upstream({
			service, id: `i-${name}`, slots, serve,
		});
		await upstream.listen(ip);
		const machine = new Machine({
			name, ip, upstream, store: this.store, ports: this.ports, ...options,
		});
		this.machines.push(machine);
		machine.start();
		return machine;
	}

	/** Resolves when all nodes are ready and have heard of each other. */
	async whenReady() {
		const deadlineMs = performance.now() + readyTimeoutMs;
		for (const machine of this.machines) {
			while (!await machine.isReady()) {
				if (performance.now() > deadlineMs) {
					throw new Error(`${machine.name} is not ready`);
				}

				await sleep(50);
			}
		}

		await sleep(2500);
	}

	close() {
		for (const machine of this.machines) {
			machine.stop();
		}

		this.store.close();
	}
}

/** Runs a case: `play` returns whether the rule was broken. Exits with 1 if it was, 0 if it held, 2 if the case could not run. */
export async function runCase(recordPath, play) {
	const record = new Recorder(recordPath);
	const installation = new Installation();
	const hasTrouble = process.env.TROUBLE !== '0';
	const abandon = reason => {
		record.write('could not run:', reason);
		installation.close();
		process.exit(couldNotRun); // eslint-disable-line unicorn/no-process-exit
	};

	const timer = setTimeout(abandon, caseTimeoutMs, 'the case took too long');
	process.on('uncaughtException', error => {
		abandon(error.stack);
	});
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, abandon);
	}

	let status = couldNotRun;
	try {
		await installation.open(Machine.drawPorts());
		record.write('disruption:', hasTrouble ? 'yes' : 'no');
		status = await play({installation, record, hasTrouble}) ? 1 : 0;
		record.write(status === 1 ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		record.write('could not run:', error.stack);
	}

	clearTimeout(timer);
	installation.close();
	process.exit(status); // eslint-disable-line unicorn/no-process-exit
}
