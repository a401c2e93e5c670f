/** Longer than any request takes on a busy machine; tests of time-outs set their own. */
const timeoutS = 10;

const read = {
	name: 'read', host: 'a.example', prefix: '/read/', kind: 'idempotent', timeoutS, goalS: 0.5, priority: 1, attempts: 2, service: 'catalogue',
};
const charge = {
	name: 'charge', host: 'a.example', prefix: '/charge/', kind: 'mutating', timeoutS, goalS: 0.5, priority: 0, attempts: 2, service: 'desk',
};

/** Routes of the tests' configurations. */
export const testRoutes = {read, charge};
