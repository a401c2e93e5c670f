import {option, type Type} from 'cmd-ts';

type SettingOptions<T> = {
	readonly type: Type<string, T>;
	readonly description: string;
	readonly defaultValue?: () => T;
};

/** Creates an option with a flag and an environment variable; its error messages name both. */
export function setting<T>(long: string, {type, description, defaultValue}: SettingOptions<T>): ReturnType<typeof option<Type<string, T>>> {
	const env = `KUMQUATLINE_${long.toUpperCase().replaceAll('-', '_')}`;
	const typeWithSettingName: Type<string, T> = {
		...type,
		async from(value) {
			try {
				return await type.from(value);
			} catch (error) {
				throw new Error(`--${long} (${env}): ${(error as Error).message}`, {cause: error});
			}
		},
	};
	return option({
		long,
		env,
		type: typeWithSettingName,
		description,
		...defaultValue && {defaultValue},
	});
}
