import {ErrorKind} from './error-kind.js';

type ErrorAnswer = {
	readonly status: number;
	readonly title: string;
};

/** HTTP status and problem title with which callers are answered for each error kind. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
	[ErrorKind.BadRequest]: {status: 400, title: 'The request is malformed'},
	[ErrorKind.KeyRequired]: {status: 400, title: 'The operation needs an Idempotency-Key'},
	[ErrorKind.KeyInvalid]: {status: 400, title: 'The Idempotency-Key is malformed'},
	[ErrorKind.KeyReused]: {status: 422, title: 'The Idempotency-Key belongs to another request'},
	[ErrorKind.KeyExpired]: {status: 409, title: 'The Idempotency-Key is older than the retry horizon or too new'},
	[ErrorKind.RouteUnknown]: {status: 404, title: 'No operation has this method and path'},
	[ErrorKind.CallerUnknown]: {status: 400, title: 'The policy names no such caller'},
	[ErrorKind.ContextUnknown]: {status: 400, title: 'The context header belongs to no running call'},
	[ErrorKind.BodyTooLarge]: {status: 413, title: 'The request body is too large'},
	[ErrorKind.HeadTooLarge]: {status: 431, title: 'The head of the request is too large'},
	[ErrorKind.RequestTimeout]: {status: 408, title: 'The request did not arrive whole in time'},
	[ErrorKind.DeadlineExceeded]: {status: 504, title: 'The deadline has passed'},
	[ErrorKind.CallerGone]: {status: 499, title: 'The caller has left'},
	[ErrorKind.Overloaded]: {status: 503, title: 'Refused under overload'},
	[ErrorKind.Draining]: {status: 503, title: 'The node is leaving'},
	[ErrorKind.NoUpstream]: {status: 503, title: 'No upstream of the service can be reached'},
	[ErrorKind.OwnerUnreachable]: {status: 503, title: 'The owner of the request id can not be reached'},
	[ErrorKind.NotOwner]: {status: 503, title: 'The node does not own the request id'},
	[ErrorKind.StaleAttempt]: {status: 409, title: 'The attempt is older than a refusal of its request id'},
	[ErrorKind.RetryDenied]: {status: 503, title: 'The retry total of the request is spent'},
	[ErrorKind.OutcomeUnknown]: {status: 502, title: 'It is not known whether the request was run'},
	[ErrorKind.BackendUnreachable]: {status: 502, title: 'The backend server can not be reached'},
	[ErrorKind.BackendFailed]: {status: 502, title: 'The backend server did not answer whole'},
	[ErrorKind.BackendShed]: {status: 503, title: 'The backend server shed the request'},
	[ErrorKind.BackendReplaced]: {status: 503, title: 'Another backend server has taken the address'},
	[ErrorKind.AnswerTooLarge]: {status: 502, title: 'The answer is too large'},
	[ErrorKind.PeerUnreachable]: {status: 503, title: 'A peer node can not be reached'},
	[ErrorKind.PeerLost]: {status: 502, title: 'A peer node was lost while it worked'},
	[ErrorKind.PeerChanged]: {status: 502, title: 'A peer node was restarted'},
	[ErrorKind.PeerProtocol]: {status: 502, title: 'A peer node broke the protocol'},
	[ErrorKind.StoreUnavailable]: {status: 503, title: 'The key-value store can not be reached'},
	[ErrorKind.PolicyInvalid]: {status: 422, title: 'The policy patch is not valid'},
	[ErrorKind.PolicyConflict]: {status: 409, title: 'The policy has another version'},
	[ErrorKind.PolicyUnknown]: {status: 503, title: 'The node has no policy yet'},
	[ErrorKind.SettingInvalid]: {status: 500, title: 'A setting is not valid'},
	[ErrorKind.Internal]: {status: 500, title: 'Internal error'},
};
