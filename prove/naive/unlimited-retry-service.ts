import {type RetryService} from '../../src/services/retries/retry-service.js';

/** Naive variant of the retry total: grants every retry. */
export class UnlimitedRetryService implements RetryService {
	recordCall(): void {
		// Nothing is counted.
	}

	async grant(): Promise<boolean> {
		return true;
	}

	async admitAttempt(): Promise<boolean> {
		return true;
	}
}
