/** State that a backend server announces to its node. */
export type BackendAnnouncement = {
	readonly service: string;
	/** Loopback port on which the backend server accepts requests. */
	readonly port: number;
	readonly slots: number;
	readonly connections: number;
	readonly draining: boolean;
};
