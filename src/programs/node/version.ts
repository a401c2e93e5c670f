/** Version of the programs, as `--version` prints it. */
export const version = '0.1.0';
