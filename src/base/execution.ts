/** What is known about the execution of a request id at the backend server. */
export enum Execution {
	NotRun = 'not-run',
	Unknown = 'unknown',
	Completed = 'completed',
}
