import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type ExchangeAnswer} from './exchange-answer.js';
import {type ExchangeRequest} from './exchange-request.js';

/** Sends requests to the VM's own backend server and returns only complete answers that belong to them. */
export interface ExchangeService {
	/**
	Errors: `backend-unreachable`, `backend-shed`, `backend-replaced` and `caller-gone` if the request was certainly not executed;
	`backend-failed` and `deadline-exceeded` if it may have been. Failure statuses of the backend server itself are answers.
	*/
	exchange(request: ExchangeRequest, signal: AbortSignal): Promise<ExchangeAnswer>;
}

export const ExchangeService = createServiceId<ExchangeService>('exchange');
