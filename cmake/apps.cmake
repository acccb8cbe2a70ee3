# Tools and example programs: load generator, experiment tool, demonstration and capacity tool.
file(GLOB CORNELSHED_LOAD_FILES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/apps/load/*.cpp)
list(FILTER CORNELSHED_LOAD_FILES EXCLUDE REGEX "load_main\\.cpp$")
# The load generator is a library because the demonstration and the process tests use it too.
if(CORNELSHED_LOAD_FILES)
  add_library(cornelshed_load STATIC ${CORNELSHED_LOAD_FILES})
  target_include_directories(cornelshed_load PUBLIC ${CMAKE_SOURCE_DIR}/apps/load)
  target_link_libraries(cornelshed_load PUBLIC cornelshed_standins)
  add_executable(cornelshed-load ${CMAKE_SOURCE_DIR}/apps/load/load_main.cpp)
  target_link_libraries(cornelshed-load PRIVATE cornelshed_load)
endif()

# The experiment tool's engine model is a library so that tests can use it too.
file(GLOB CORNELSHED_MEASURE_FILES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/apps/measure/*.cpp)
list(FILTER CORNELSHED_MEASURE_FILES EXCLUDE REGEX "measure_main\\.cpp$")
if(CORNELSHED_MEASURE_FILES)
  add_library(cornelshed_measure STATIC ${CORNELSHED_MEASURE_FILES})
  target_include_directories(cornelshed_measure PUBLIC ${CMAKE_SOURCE_DIR}/apps/measure)
  target_link_libraries(cornelshed_measure PUBLIC cornelshed_core)
  cornelshed_program(cornelshed-measure apps/measure/measure_main.cpp cornelshed_measure
    cornelshed_runtime)
endif()

# The demonstration is a library because the process tests start a cluster too.
file(GLOB CORNELSHED_DEMO_FILES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/apps/demo/*.cpp)
list(FILTER CORNELSHED_DEMO_FILES EXCLUDE REGEX "demo_main\\.cpp$")
if(CORNELSHED_DEMO_FILES)
  add_library(cornelshed_demo STATIC ${CORNELSHED_DEMO_FILES})
  target_include_directories(cornelshed_demo PUBLIC ${CMAKE_SOURCE_DIR}/apps/demo)
  target_link_libraries(cornelshed_demo PUBLIC cornelshed_load Boost::headers)
  cornelshed_program(cornelshed-demo apps/demo/demo_main.cpp cornelshed_demo)
  if(TARGET cornelshed-demo)
    # The demonstration starts these programs, so they must be built with it.
    foreach(program cornelshed cornelshed-gatewayd cornelshed-admitd cornelshed-agentd cornelshed-entryd standin-engine
        standin-service standin-platform)
      if(TARGET ${program})
        add_dependencies(cornelshed_demo ${program})
      endif()
    endforeach()
  endif()
endif()

cornelshed_program(cornelshed-capacity apps/capacity/capacity_main.cpp cornelshed_runtime)
