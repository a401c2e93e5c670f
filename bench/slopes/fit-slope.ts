type Point = {readonly x: number; readonly y: number};

/** Fits a least-squares line to measured points. */
export function fitSlope(points: readonly Point[]): {slope: number; intercept: number} {
	const meanX = points.reduce((total, point) => total + point.x, 0) / points.length;
	const meanY = points.reduce((total, point) => total + point.y, 0) / points.length;
	const covariance = points.reduce((total, point) => total + ((point.x - meanX) * (point.y - meanY)), 0);
	const variance = points.reduce((total, point) => total + ((point.x - meanX) ** 2), 0);
	const slope = covariance / variance;
	return {slope, intercept: meanY - (slope * meanX)};
}
