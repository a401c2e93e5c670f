/** What a backend server tells its node about itself. */
export type BackendAnnouncement = {
	readonly service: string;
	/** Loopback port on which the backend server takes work. */
	readonly port: number;
	readonly slots: number;
	readonly connections: number;
	readonly draining: boolean;
};
