import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const repository = path.resolve(import.meta.dirname, '../..');
const restartMs = 300;
const memoryCheckMs = 20;

/** The command with which the deploy file starts the program on a machine. */
function deployCommand() {
	const deploy = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "(.+)"$/mv.exec(deploy)[1].split(' ');
}

/** A machine with one node beside its upstream. The platform starts the node again when it ends, and kills it when it exceeds its memory. */
export class Machine {
	/** Times at which the platform killed the node because of its memory. */
	memoryKills = [];
	peakMb = 0;
	exits = [];
	isStopped = false;

	constructor({name, ip, zone = 'zone-a', upstream, store, ports, bounds = {}, memoryMb = 350, log}) {
		Object.assign(this, {
			name, ip, zone, upstream, store, ports, bounds, memoryMb, log,
		});
		this.directory = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.settingsPath = path.join(this.directory, 'settings.toml');
	}

	/** Ports are the same on all machines of a day. They lie below those that the system gives to connections. */
	static drawPorts() {
		const first = 12_000 + (5 * Math.floor(Math.random() * 3000));
		return {
			peer: first, outbound: first + 1, inbound: first + 2, ready: first + 3, control: first + 4,
		};
	}

	get outbound() {
		return {host: this.ip, port: this.ports.outbound};
	}

	start() {
		this.#writeSettings();
		this.#spawn();
		this.upstream.startBeats(this.ports.control);
		this.memoryTimer = setInterval(() => {
			this.#checkMemory();
		}, memoryCheckMs);
	}

	/** Stops for good. */
	stop() {
		this.isStopped = true;
		clearInterval(this.memoryTimer);
		clearTimeout(this.restartTimer);
		this.upstream.close();
		this.child?.kill('SIGKILL');
		rmSync(this.directory, {recursive: true, force: true});
	}

	kill(signal) {
		this.child.kill(signal);
	}

	async isReady() {
		try {
			const response = await fetch(`http://${this.ip}:${this.ports.ready}/v1/ready`, {signal: AbortSignal.timeout(500)});
			return response.status === 200;
		} catch {
			return false;
		}
	}

	#writeSettings() {
		const {
			name, ip, zone, ports, upstream, store, memoryMb,
		} = this;
		const bounds = {
			contactS: 3, ackS: 4, drainS: 2, graceS: 6, configS: 2, retryRatio: 0.2, retryWindowS: 10, retrySlack: 48, ...this.bounds,
		};
		writeFileSync(this.settingsPath, `node = "${name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "${ip}"
zone = "${zone}"
region = "region"
portRange = [${ports.peer},${ports.peer}]
seedAddrs = []
bootstrap = false
beatS = 1.5
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = [${Object.entries(bounds).map(([key, value]) => `"${key}=${value}"`).join(',')}]
appAddr = "${upstream.host}:${upstream.port}"
service = "${upstream.service}"
[zones]
${zone} = "region"
[listen]
inbound = "${ip}:${ports.inbound}"
outbound = "${ip}:${ports.outbound}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
[limits]
memoryMb = ${memoryMb}
maxFds = 4100
[platform]
address = "${store.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
retainS = 20
valueBytes = 1048576
minTtlS = 1
`);
	}

	#spawn() {
		const [command, ...commandArguments] = deployCommand();
		const child = spawn(command, commandArguments, {
			cwd: repository, env: {PATH: process.env.PATH, KUMQUATLINE_BOOT: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', bytes => {
				if (this.log) {
					appendFileSync(this.log, bytes);
				}
			});
		}

		child.once('exit', (code, signal) => {
			this.exits.push({atMs: performance.now(), code, signal});
			if (!this.isStopped) {
				this.restartTimer = setTimeout(() => {
					this.#spawn();
				}, restartMs);
			}
		});
	}

	/** DEPLOY.md: a process that exceeds `memoryMb` is killed. */
	#checkMemory() {
		let status;
		try {
			status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
		} catch {
			return;
		}

		const residentMb = Number(/^VmRSS:\s+(\d+)/mv.exec(status)?.[1] ?? 0) / 1024;
		this.peakMb = Math.max(this.peakMb, residentMb);
		if (residentMb > this.memoryMb && this.child.signalCode === null && !this.child.killed) {
			this.memoryKills.push(performance.now());
			this.child.kill('SIGKILL');
		}
	}
}
