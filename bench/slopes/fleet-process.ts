import {type ChildProcess, fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {Deferred} from '../../src/base/deferred.js';
import {type FleetCommand} from './fleet-command.js';
import {type FleetWorkerOptions} from './fleet-worker-options.js';

const workerFile = fileURLToPath(new URL('fleet-worker.js', import.meta.url));

type Reply = {readonly id: number; readonly answer?: unknown; readonly error?: string};

/** A worker process of a fleet, controlled over its IPC channel. */
export class FleetProcess {
	readonly ready: Promise<unknown>;
	private readonly child: ChildProcess;
	private readonly pending = new Map<number, Deferred<unknown>>();
	private lastId = 0;

	constructor(options: FleetWorkerOptions) {
		this.child = fork(workerFile, [JSON.stringify(options)], {execArgv: ['--expose-gc']});
		this.child.on('message', (reply: Reply) => {
			this.handleReply(reply);
		});
		this.child.on('exit', code => {
			for (const deferred of this.pending.values()) {
				deferred.reject(new Error(`worker process exited with code ${code}`));
			}
		});
		this.ready = this.waitForReply(0);
	}

	async sendCommand(command: FleetCommand): Promise<unknown> {
		this.lastId++;
		const answer = this.waitForReply(this.lastId);
		this.child.send({id: this.lastId, command});
		return answer;
	}

	kill(): void {
		this.child.removeAllListeners('exit');
		this.child.kill('SIGKILL');
	}

	private async waitForReply(id: number): Promise<unknown> {
		const deferred = new Deferred<unknown>();
		this.pending.set(id, deferred);
		return deferred.promise;
	}

	private handleReply({id, answer, error}: Reply): void {
		const deferred = this.pending.get(id);
		this.pending.delete(id);
		if (error === undefined) {
			deferred?.resolve(answer);
		} else {
			deferred?.reject(new Error(error));
		}
	}
}
