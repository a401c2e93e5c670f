const read = {
	name: 'read', host: 'a.example', prefix: '/read/', kind: 'idempotent', timeoutS: 1, goalS: 0.5, priority: 1, attempts: 2, service: 'catalogue',
};
const charge = {
	name: 'charge', host: 'a.example', prefix: '/charge/', kind: 'mutating', timeoutS: 1, goalS: 0.5, priority: 0, attempts: 2, service: 'desk',
};

/** Routes of the tests' configurations. */
export const testRoutes = {read, charge};
