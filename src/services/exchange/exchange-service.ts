import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type ExchangeAnswer} from './exchange-answer.js';
import {type ExchangeRequest} from './exchange-request.js';

/** Carries requests to the VM's own backend server, and nothing but whole answers to these very requests back. */
export interface ExchangeService {
	/**
	Errors: `backend-unreachable`, `backend-shed` and `backend-replaced` when the request certainly did not run; `backend-failed` when it may have.
	The backend server's own failures are answers.
	*/
	exchange(request: ExchangeRequest, signal: AbortSignal): Promise<ExchangeAnswer>;
}

export const ExchangeService = createServiceId<ExchangeService>('exchange');
