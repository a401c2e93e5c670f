import {type z} from 'zod';

/** Problems that a schema found, one readable line each, with a JSON pointer to the place. */
export function describeIssues(error: z.ZodError): string[] {
	return error.issues.map(issue => `/${issue.path.map(String).join('/')}: ${issue.message}`);
}
