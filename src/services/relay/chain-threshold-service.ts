import {DelayThresholdService} from '../admission/delay-threshold-service.js';

/**
A threshold that falls as slowly as its effect shows: a root that is let in makes its calls deeper down over a second or so,
and a threshold that falls faster lets in more than there is room for before the first of them arrive.
*/
export class ChainThresholdService extends DelayThresholdService {
	protected override get probe(): number {
		return 0.02;
	}

	protected override get roomDecay(): number {
		return 0.12;
	}
}
