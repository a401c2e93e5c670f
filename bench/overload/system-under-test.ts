import {type ExecutionRecord} from '../../standins/backend-server/execution-record.js';
import {type OverloadSetup} from './overload-setup.js';

/** A system that serves callers' requests through a call graph of separate processes. */
export interface SystemUnderTest {
	readonly name: string;
	/** URLs to which callers send requests, once started. */
	readonly entryUrls: readonly string[];
	start(setup: OverloadSetup, seed: number): Promise<void>;
	/** Sets the faults of all backend servers of a service. */
	setFaults(service: string, faults: Readonly<Record<string, unknown>>): Promise<void>;
	/** Reads the executions of all backend servers. */
	readHistory(): Promise<ExecutionRecord[]>;
	dispose(): Promise<void>;
}
