import {z} from 'zod';

const hostPort = z.string().regex(/^[^\s:]+:\d{1,5}$/v, 'must be IP:PORT');
const port = z.number().int().min(1).max(65_535);

/** The settings file of the platform, as far as it is used; unknown fields are ignored. */
export const settingsDocument = z.object({
	/** Name of the VM. */
	node: z.string().min(1),
	ip: z.string().min(1),
	zone: z.string().min(1),
	region: z.string().default(''),
	/** First and last port for talk between nodes. */
	portRange: z.tuple([port, port]),
	/** Control addresses of some VMs; they may be stale or down. */
	seedAddrs: z.array(hostPort).max(3).default([]),
	/** Seconds between the reports of a backend server. */
	beatS: z.number().positive().default(1.5),
	/** Figures as `name=value`. */
	bounds: z.array(z.string()).default([]),
	/** Address of the VM's backend server. */
	appAddr: hostPort,
	/** Service of the VM's backend server. */
	service: z.string().min(1),
	listen: z.object({
		outbound: hostPort,
		ready: hostPort,
		control: hostPort,
	}),
	/** The store, not the platform as a whole. */
	platform: z.object({
		address: hostPort,
		/** Seconds. */
		minTtlS: z.number().positive().default(1),
	}),
});
