import {RequestOutcome} from '../../standins/caller/request-outcome.js';
import {type RequestRecord} from '../../standins/caller/request-record.js';

export type Recovery = {
	readonly recoveryMs: number | undefined;
	readonly recoveryShares: readonly number[];
};

const intervalMs = 500;
const recoveredFraction = 0.95;

/** Finds when goodput recovered after the trigger: from then on, no interval of half a second is below 95%. */
export function measureRecovery(requests: readonly RequestRecord[], triggerToMs: number, endMs: number): Recovery {
	const recoveryShares: number[] = [];
	for (let fromMs = triggerToMs; fromMs < endMs; fromMs += intervalMs) {
		const sent = requests.filter(({sentAtMs}) => sentAtMs >= fromMs && sentAtMs < fromMs + intervalMs);
		const complete = sent.filter(({outcome}) => outcome === RequestOutcome.Complete);
		recoveryShares.push(sent.length === 0 ? 1 : Math.round(complete.length / sent.length * 1000) / 1000);
	}

	const lastBelow = recoveryShares.findLastIndex(fraction => fraction < recoveredFraction);
	const isRecovered = lastBelow < recoveryShares.length - 1;
	return {recoveryMs: isRecovered ? (lastBelow + 1) * intervalMs : undefined, recoveryShares};
}
