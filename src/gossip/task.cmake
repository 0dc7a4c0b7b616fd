# What touches threads, the network and the log. concurrentqueue comes with it, so nothing else may link it
# but programs that are built with peers.
find_path(CONCURRENTQUEUE_INCLUDE_DIR concurrentqueue/concurrentqueue.h REQUIRED)
add_library(mothrack_gossip_io link.cpp settings.cpp snapshot_publisher.cpp task.cpp task_log.cpp
            task_worker.cpp udp_socket.cpp)
target_include_directories(mothrack_gossip_io SYSTEM PUBLIC ${CONCURRENTQUEUE_INCLUDE_DIR})
target_link_libraries(mothrack_gossip_io PUBLIC mothrack_gossip mothrack_gossip_wire mothrack_dispatch
                      nlohmann_json::nlohmann_json)
