import {OwnershipService} from '../../src/services/ownership/ownership-service.js';
import {findForeignAnswers} from '../history/find-foreign-answers.js';
import {findLateAttempts} from '../history/find-late-attempts.js';
import {findRepeatedExecutions} from '../history/find-repeated-executions.js';
import {PlainOwnershipService} from '../naive/plain-ownership-service.js';
import {createMeshProof} from './create-mesh-proof.js';

/** No id is executed twice, and no id that was answered `not-run` was executed. */
export const meshProof = createMeshProof({
	name: 'at-most-once-and-told-not-run',
	naive: {ownership: PlainOwnershipService},
	failureRate: 0,
	call: async (node, request) => node.get(OwnershipService).run(request, new AbortController().signal),
	findViolations: events => [
		...findRepeatedExecutions(events),
		...findLateAttempts(events),
		...findForeignAnswers(events),
	],
});
