import {type ExecutionRecord} from '../../standins/backend-server/execution-record.js';
import {type OverloadSetup} from './overload-setup.js';

/** Something that carries callers' requests through a call graph of separate processes. */
export interface SystemUnderTest {
	readonly name: string;
	/** Where callers send their requests, once started. */
	readonly entryUrls: readonly string[];
	start(setup: OverloadSetup, seed: number): Promise<void>;
	/** Sets faults of all backend servers of a service. */
	setFaults(service: string, faults: Readonly<Record<string, unknown>>): Promise<void>;
	/** What all backend servers executed. */
	readHistory(): Promise<ExecutionRecord[]>;
	dispose(): Promise<void>;
}
