import {DelayThresholdService} from '../admission/delay-threshold-service.js';

/**
A threshold that moves as slowly as its effect shows: a root that is let in makes its calls deeper down over a second or so.
One that moves faster swings between letting in far too much and nothing.
*/
export class ChainThresholdService extends DelayThresholdService {
	protected override get largestRise(): number {
		return 0.06;
	}

	protected override get probe(): number {
		return 0.02;
	}

	protected override get roomDecay(): number {
		return 0.08;
	}

	protected override get waitsForDraining(): boolean {
		return true;
	}
}
