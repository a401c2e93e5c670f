/** Version of the programs, printed by `--version`. */
export const version = '0.1.0';
