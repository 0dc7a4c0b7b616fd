// Paired differences: the same seeds under two labels.
#pragma once

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <vector>

namespace mothrack::simulation {

// The differences of `pairs` pairs: their mean, and its interval.
struct Difference {
  std::size_t pairs = 0;
  double mean = 0;
  double low = 0;  // of the interval that has the true mean in 95 of 100 such comparisons, by Student's t
  double high = 0;
  // Is the interval clear of zero? Never for fewer than two pairs.
  bool tells() const { return pairs >= 2 && (low > 0 || high < 0); }
};

inline Difference Compare(const std::vector<double>& differences) {
  Difference d;
  d.pairs = differences.size();
  if (d.pairs == 0) return d;
  const auto n = static_cast<double>(d.pairs);
  for (const double x : differences) d.mean += x / n;
  d.low = d.high = d.mean;
  if (d.pairs < 2) return d;
  double squares = 0;
  for (const double x : differences) squares += (x - d.mean) * (x - d.mean);
  const double t = boost::math::quantile(boost::math::students_t(n - 1), 0.975);
  const double half = t * std::sqrt(squares / (n - 1) / n);
  d.low = d.mean - half;
  d.high = d.mean + half;
  return d;
}

}  // namespace mothrack::simulation
