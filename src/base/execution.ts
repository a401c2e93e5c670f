/** What is known of a request id's execution at the backend server. */
export enum Execution {
	NotRun = 'not-run',
	Unknown = 'unknown',
	Completed = 'completed',
}
