// Statistics of paired differences: runs with the same seeds under two labels.
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
  Difference d;
  d.pairs = differences.size();
  if (d.pairs == 0) return d;
  const auto n = static_cast<double>(d.pairs);
  for (const double difference : differences) d.mean += difference / n;
  d.low = d.high = d.mean;
  if (d.pairs < 2) return d;
  double squares = 0;
  for (const double difference : differences) squares += (difference - d.mean) * (difference - d.mean);
  const double t_quantile = boost::math::quantile(boost::math::students_t(n - 1), 0.975);
  const double half_width = t_quantile * std::sqrt(squares / (n - 1) / n);
  d.low = d.mean - half_width;
  d.high = d.mean + half_width;
  return d;
}

}  // namespace mothrack::simulation
