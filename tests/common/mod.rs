//! Harnesses shared by the router's test files: separate processes (`area`) and a simulation (`world`).
#![allow(dead_code, missing_docs)]

pub mod area;
pub mod world;
