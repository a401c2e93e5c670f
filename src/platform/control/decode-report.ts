import {z} from 'zod';
import {type InstanceReport} from '../../services/backend/instance-report.js';

const count = z.number().int().min(0);

const reportDocument = z.object({
	address: z.string(),
	/** Time at which the instance booted, in milliseconds since 1970. */
	born: count.default(0),
	info: z.object({
		service: z.string().min(1),
		slots: z.number().int().min(1),
	}),
	status: z.object({
		state: z.enum(['ready', 'draining']),
		/** Increases with each report of an instance. */
		seq: count,
		/** Remaining time in which the instance is slow after its cold start. */
		coldLeftS: z.number().min(0).default(0),
	}),
});

const msPerSecond = 1000;

/** A report with the address of the backend server that sent it. */
export type AddressedReport = {
	readonly address: string;
	readonly report: InstanceReport;
};

/** Decodes the report of a backend server; undefined if it is malformed. */
export function decodeReport(instanceId: string, text: string): AddressedReport | undefined {
	const parsed = reportDocument.safeParse(parseJson(text));
	if (!parsed.success) {
		return undefined;
	}

	const {address, born, info, status} = parsed.data;
	return {
		address,
		report: {
			instanceId,
			bootedAtMs: born,
			sequence: status.seq,
			service: info.service,
			slots: info.slots,
			draining: status.state === 'draining',
			coldRemainingMs: status.coldLeftS * msPerSecond,
		},
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
