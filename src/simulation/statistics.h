// Statistics of paired differences. A pair is two runs with the same seed under two labels.
#pragma once

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <vector>

namespace mothrack::simulation {

// The mean difference of `pairs` pairs and its 95% confidence interval by Student's t distribution.
struct Difference {
  std::size_t pairs = 0;
  double mean = 0;
  double low = 0;
  double high = 0;
  // Tells whether the interval excludes zero; false for fewer than two pairs.
  bool significant() const { return pairs >= 2 && (low > 0 || high < 0); }
};

inline Difference Compare(const std::vector<double>& differences) {
  Difference result;
  result.pairs = differences.size();
  if (result.pairs == 0) return result;
  const auto count = static_cast<double>(result.pairs);
  for (const double difference : differences) result.mean += difference / count;
  result.low = result.high = result.mean;
  if (result.pairs < 2) return result;
  double squares = 0;
  for (const double difference : differences)
    squares += (difference - result.mean) * (difference - result.mean);
  const double t_quantile = boost::math::quantile(boost::math::students_t(count - 1), 0.975);
  const double half_width = t_quantile * std::sqrt(squares / (count - 1) / count);
  result.low = result.mean - half_width;
  result.high = result.mean + half_width;
  return result;
}

}  // namespace mothrack::simulation
