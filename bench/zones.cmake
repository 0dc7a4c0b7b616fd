# Evidence and decision on zones in a small world in made-up time.
add_executable(zones_bench zones_bench.cpp zones_simulation.cpp)
target_link_libraries(zones_bench PRIVATE mothrack_zone_failover)
