import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {Deferred} from '../../src/base/deferred.js';
import {Emitter} from '../../src/base/emitter.js';

const startTimeoutMs = 20_000;

/** Children that are killed when this process exits, even after a failure of its own. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

type Line = Readonly<Record<string, unknown>>;

/** A program under test in a child process; reads the lines of JSON that it prints, sends it signals and waits for its exit. */
export class ChildProgram {
	/** Fired for each line of JSON on standard output. */
	readonly onDidPrint;
	readonly exited: Promise<number | undefined>;
	private readonly process: ChildProcess;
	private readonly ready = new Deferred<Line>();
	private readonly errorLines: string[] = [];
	private readonly printEmitter = new Emitter<Line>();

	/** `isReady` recognises the line with which the program says that it can be used. */
	constructor(readonly name: string, args: readonly string[], private readonly isReady: (line: Line) => boolean) {
		this.onDidPrint = this.printEmitter.event;
		this.process = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'pipe']});
		running.add(this.process);
		this.exited = new Promise(resolve => {
			this.process.once('close', code => {
				running.delete(this.process);
				this.ready.reject(new Error(`${name} exited before it was ready, with code ${code}: ${this.errorLines.join('\n')}`));
				resolve(code ?? undefined);
			});
		});
		this.ready.promise.catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then
		this.readLines();
	}

	/** Waits for the line with which the program says that it is ready, and returns it. */
	async start(): Promise<Line> {
		const timer = setTimeout(() => {
			this.ready.reject(new Error(`${this.name} was not ready within ${startTimeoutMs} ms: ${this.errorLines.join('\n')}`));
		}, startTimeoutMs);
		try {
			return await this.ready.promise;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Last lines that the program wrote to standard error. */
	get errorOutput(): string {
		return this.errorLines.join('\n');
	}

	get processId(): number {
		return this.process.pid ?? 0;
	}

	signal(name: NodeJS.Signals): void {
		this.process.kill(name);
	}

	/** Kills the program immediately, even if it is frozen. */
	async kill(): Promise<void> {
		this.process.kill('SIGKILL');
		await this.exited;
	}

	/** Asks the program to stop and returns its exit status. */
	async terminate(): Promise<number | undefined> {
		this.process.kill('SIGTERM');
		return this.exited;
	}

	private readLines(): void {
		const {stdout, stderr} = this.process;
		if (!stdout || !stderr) {
			throw new Error('the child process has no output pipes');
		}

		createInterface({input: stdout}).on('line', text => {
			const line = parseLine(text);
			if (!line) {
				return;
			}

			this.printEmitter.fire(line);
			if (this.isReady(line)) {
				this.ready.resolve(line);
			}
		});
		createInterface({input: stderr}).on('line', text => {
			this.errorLines.push(text);
			this.errorLines.splice(0, Math.max(0, this.errorLines.length - 20));
		});
	}
}

function parseLine(text: string): Line | undefined {
	try {
		return JSON.parse(text) as Line;
	} catch {
		return undefined;
	}
}
