# The parts that use threads, the network and the log. They depend on concurrentqueue, so only programs that are built
# with gossip may link this library.
find_path(CONCURRENTQUEUE_INCLUDE_DIR concurrentqueue/concurrentqueue.h REQUIRED)
add_library(mothrack_gossip_io link.cpp settings.cpp snapshot_publisher.cpp task.cpp task_log.cpp
            task_worker.cpp udp_socket.cpp)
target_include_directories(mothrack_gossip_io SYSTEM PUBLIC ${CONCURRENTQUEUE_INCLUDE_DIR})
target_link_libraries(mothrack_gossip_io PUBLIC mothrack_gossip mothrack_gossip_wire mothrack_dispatch
                      nlohmann_json::nlohmann_json)
