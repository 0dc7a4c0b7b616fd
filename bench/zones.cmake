# Benchmark of zone failover in simulated time.
add_executable(zones_bench zones_bench.cpp zones_simulation.cpp)
target_link_libraries(zones_bench PRIVATE mothrack_zone_failover)
