import {RequestOutcome} from '../../standins/caller/request-outcome.js';
import {type RequestRecord} from '../../standins/caller/request-record.js';

export type Recovery = {
	readonly recoveryMs: number | undefined;
	readonly recoveryShares: readonly number[];
};

const stretchMs = 500;
const recoveredShare = 0.95;

/** Finds when goodput recovered after the trigger: from then on, no interval of half a second is below 95%. */
export function measureRecovery(requests: readonly RequestRecord[], triggerToMs: number, endMs: number): Recovery {
	const recoveryShares: number[] = [];
	for (let fromMs = triggerToMs; fromMs < endMs; fromMs += stretchMs) {
		const sent = requests.filter(({sentAtMs}) => sentAtMs >= fromMs && sentAtMs < fromMs + stretchMs);
		const whole = sent.filter(({outcome}) => outcome === RequestOutcome.Complete);
		recoveryShares.push(sent.length === 0 ? 1 : Math.round(whole.length / sent.length * 1000) / 1000);
	}

	const lastBelow = recoveryShares.findLastIndex(share => share < recoveredShare);
	const isRecovered = lastBelow < recoveryShares.length - 1;
	return {recoveryMs: isRecovered ? (lastBelow + 1) * stretchMs : undefined, recoveryShares};
}
