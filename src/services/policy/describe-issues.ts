import {type z} from 'zod';

/** Formats the issues of a failed schema validation, one line each, with a JSON Pointer to the invalid value. */
export function describeIssues(error: z.ZodError): string[] {
	return error.issues.map(issue => `/${issue.path.map(String).join('/')}: ${issue.message}`);
}
